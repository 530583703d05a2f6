/** What an upstream may send without the end of an event; events hold some tokens. */
const MAX_EVENT_BYTES = 4_194_304;

export default MAX_EVENT_BYTES;
