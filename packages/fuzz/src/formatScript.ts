import type { Step, StoreScript } from './storeScript.js';

const MAX_BODY_LENGTH = 400;

const abbreviate = (body: Buffer): string => {
  const text = JSON.stringify(body.toString('latin1'));
  return text.length <= MAX_BODY_LENGTH
    ? text
    : `${text.slice(0, MAX_BODY_LENGTH)}... (${body.length} bytes)`;
};

const formatStep = (step: Step): string => {
  if (step.type !== 'write') return step.type;
  const { topic, fact, bodies } = step;
  return `${fact ? `good (${fact.effects.map(([name]) => name).join(', ')})` : 'odd'} in ${topic}: ${bodies.map(abbreviate).join(' | ')}`;
};

/** Describes the steps of a script, one a line; long records are cut. */
const formatScript = ({ steps }: StoreScript): string[] => steps.map(formatStep);

export default formatScript;
