/** For log lines. */
const roundPace = (pace: number): number => Math.round(pace * 100) / 100;

export default roundPace;
