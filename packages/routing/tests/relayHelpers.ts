import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import newSuspects from '@cyclamengate/coordination/newSuspects';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newEffectiveSettings from '@cyclamengate/settings/newEffectiveSettings';
import { subtreeSettingsSchema } from '@cyclamengate/settings/subtreeSettings';
import type { EngineStatus } from '@cyclamengate/upstreams/engineStatus';
import type { EndEvent, Generation, TokenEvent } from '@cyclamengate/upstreams/generation';
import ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import newUpstreamDirectory from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { UpstreamFault } from '@cyclamengate/upstreams/upstreamFault';
import newGenerationRelay from '../src/newGenerationRelay.js';
import newLeastInFlightChoice from '../src/newLeastInFlightChoice.js';
import newRetryBudget from '../src/newRetryBudget.js';

/** How an upstream handles a generation: tokens before a fault, or a complete answer. */
export interface Script {
  tokens: number;
  fault: UpstreamFault | null;
  /** Whether the upstream refuses connections afterwards. */
  crashes: boolean;
}

export const completes: Script = { tokens: Infinity, fault: null, crashes: false };

/** Engines that follow scripts by URL; the last script of a list repeats. */
export class ScriptedEngine extends ModelEngine {
  readonly calls: { url: string; generation: Generation }[] = [];

  readonly crashed = new Set<string>();

  constructor(private readonly scripts: Map<string, Script[]>) {
    super();
  }

  async generate(
    url: string,
    generation: Generation,
    onToken: (token: TokenEvent) => Promise<void>,
  ): Promise<Result<EndEvent, UpstreamFault>> {
    if (this.crashed.has(url)) return Err('not-sent');
    this.calls.push({ url, generation });
    const scripts = this.scripts.get(url) ?? [completes];
    const script = scripts.length > 1 ? scripts.shift()! : (scripts[0] ?? completes);
    const { requestId, maxTokens, prefix } = generation;
    const end = Math.min(maxTokens, prefix.length + script.tokens);
    for (let index = prefix.length; index < end; index += 1) {
      await onToken({ requestId, index, text: `t${index}`, version: 1 });
    }
    if (script.crashes) this.crashed.add(url);
    if (script.fault) return Err(script.fault);
    return Ok({ requestId, tokens: maxTokens, finishReason: 'length' });
  }

  async readStatus(url: string): Promise<Result<EngineStatus, UpstreamFault>> {
    if (this.crashed.has(url)) return Err('not-sent');
    return Ok({ id: url, active: 0, slots: 8, isLeaving: false, versions: {}, loading: {} });
  }

  async orderWeights(url: string): Promise<Result<EngineStatus, UpstreamFault>> {
    return this.readStatus(url);
  }
}

const DOMAIN = 'argos-c';

/** A relay over scripted upstreams. */
export const newTestRelay = (scripts: Record<string, Script[]>) => {
  const clock = newManualClock();
  const subtree = subtreeSettingsSchema.parse({
    services: [{ id: 'tone', type: 'model', pools: [{ failureDomain: DOMAIN }] }],
  });
  const settings = newEffectiveSettings({ '/': { revision: 0, subtree } });
  const engine = new ScriptedEngine(new Map(Object.entries(scripts)));
  const directory = newUpstreamDirectory(clock, () => settings);
  const list = (reclaimed = false) =>
    directory.applyListing(
      Object.keys(scripts).map((url) => ({
        id: url,
        service: 'tone',
        failureDomain: DOMAIN,
        kind: 'standard' as const,
        url,
        state: 'live' as const,
        reclaimed,
      })),
    );
  list();
  const suspects = newSuspects();
  const relay = newGenerationRelay({
    now: () => clock.now(),
    engine,
    directory,
    choice: newLeastInFlightChoice(),
    suspects,
    budget: newRetryBudget(),
  });
  const relayPrompt = async (prompt = 'low D rings', contentDigest = prompt) => {
    const tokens: string[] = [];
    const answer = await relay(
      {
        requestId: 'r1',
        customer: 'players',
        service: 'tone',
        prompt,
        prefix: [],
        maxTokens: 6,
        priority: 'interactive',
      },
      contentDigest,
      async ({ text }) => {
        tokens.push(text);
      },
      new AbortController().signal,
    );
    return { answer, tokens };
  };
  return { clock, engine, directory, suspects, relayPrompt, list };
};
