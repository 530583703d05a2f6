/** How a stand-in engine behaves. */
export interface EngineOptions {
  id: string;
  slots: number;
  tokenDelayMs: number;
  /** Prefill time of a prompt whose prefix is not cached. */
  prefillMs: number;
  /** Capacity of the prefix cache. */
  prefixesCached: number;
  /** Time to load one version of the weights. */
  loadMs: number;
}
