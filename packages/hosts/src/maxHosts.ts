/** More hosts than run at a time; heartbeats of others are of another writer. */
const MAX_HOSTS = 512;

export default MAX_HOSTS;
