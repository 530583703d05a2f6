import type { UsageFigure } from '@cyclamengate/platform/usageReport';

/** Adds usage figures by customer to a table, in place. */
const addUsage = (
  table: Record<string, UsageFigure>,
  added: Readonly<Record<string, UsageFigure>>,
): void => {
  Object.entries(added).forEach(([customer, figure]) => {
    const sum = table[customer] ?? { requests: 0, promptTokens: 0, outputTokens: 0 };
    table[customer] = {
      requests: sum.requests + figure.requests,
      promptTokens: sum.promptTokens + figure.promptTokens,
      outputTokens: sum.outputTokens + figure.outputTokens,
    };
  });
};

export default addUsage;
