/** How a stand-in engine behaves. */
export interface EngineOptions {
  id: string;
  slots: number;
  tokenDelayMs: number;
  /** Time to read a prompt whose prefix is not cached. */
  prefillMs: number;
  /** Prompt prefixes that fit into its cache. */
  prefixesCached: number;
  /** Time to load a version of weights. */
  loadMs: number;
}
