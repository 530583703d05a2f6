import rendezvousRank, { computeWeight } from '@cyclamengate/common/rendezvousRank';

/** A host and its number of cores, which may be fractional. */
export interface RankedHost {
  host: string;
  cores: number;
}

/** A host is strong if it has at least this fraction of the strongest host's cores. */
const MIN_STRONG_CORES_RATIO = 0.5;

/**
 * Ranks hosts for a subject. Hosts that know the same hosts get the same order without
 * communication.
 *
 * The first host runs all of a step. Hosts differ fourfold in cores, and a step of a hundred
 * streams on a third of a core is late although engines are free. So all strong hosts rank before
 * the weak ones.
 */
const rankHosts = (subject: string, hosts: RankedHost[], findWeight = computeWeight): string[] => {
  const strongest = Math.max(0, ...hosts.map(({ cores }) => cores));
  const isStrong = ({ cores }: RankedHost): boolean => cores >= strongest * MIN_STRONG_CORES_RATIO;
  const rank = (list: RankedHost[]): string[] =>
    rendezvousRank(
      subject,
      list.map(({ host }) => host),
      findWeight,
    );
  return [
    ...rank(hosts.filter(isStrong)),
    ...rank(hosts.filter((candidate) => !isStrong(candidate))),
  ];
};

export default rankHosts;
