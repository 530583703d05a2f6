import newDeadlineSignal from '@cyclamengate/common/newDeadlineSignal';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import newScriptedUpstream, { EVENTS, eventText, plainText } from './newScriptedUpstream.js';
import type { SentAnswer } from './newScriptedUpstream.js';
import newWireHost from './newWireHost.js';
import type { Reception } from './newWireHost.js';
import type { WireCall } from './wireScript.js';

/** Far above the deadlines of all attempts of a call. */
const MAX_CALL_MS = 4_000;
const FIRST_FAILURE_STATUS = 300;
const NO_CONTENT = 204;

/** Whether an answer may count: a signed success that bears its request's id. */
const isGood = ({ status, id, hasStamp }: SentAnswer): boolean =>
  status < FIRST_FAILURE_STATUS && id === 'own' && hasStamp;

/** An answer without framing that was closed, or with another length, can't be told from a whole one. */
const isOpenEnded = ({ framing, end, header }: SentAnswer): boolean =>
  (framing === 'none' && end === 'close') || header.startsWith('content-length');

/** Whether an answer, and all before it on its connection, leaves no reason not to take it. */
const isPlain = (answer: SentAnswer): boolean =>
  isGood(answer) &&
  [answer.status, answer.cutAt, answer.header, answer.extra].join() === '200,,,none' &&
  answer.framing !== 'none';

const checkEvents = (
  id: string,
  { events, isSuccess }: Reception,
  sent: SentAnswer[],
): string[] => {
  const wanted = Array.from({ length: EVENTS }, (_, index) => eventText(id, index + 1));
  const isPrefix = events.every((event, index) => event === wanted[index]);
  const mayBeShort = sent.some(
    (answer) => (isOpenEnded(answer) && !answer.endsWithinEvent) || answer.status === NO_CONTENT,
  );
  const isShort = isSuccess && events.length < EVENTS && !mayBeShort;
  return [
    ...(isPrefix ? [] : [`events that are not those of ${id}: ${JSON.stringify(events)}`]),
    ...(isShort ? [`only ${events.length} events as a whole`] : []),
  ];
};

const checkPlain = (id: string, { text, isSuccess }: Reception, sent: SentAnswer[]): string[] => {
  if (!isSuccess) return [];
  const fits = sent.some((answer) => {
    const whole = plainText(id, answer.bytes);
    // Of bytes without end that follow a cut, a body takes what it lacks.
    const isFilledUp = answer.end === 'endless' && answer.cutAt !== null;
    const isShort =
      (answer.status === NO_CONTENT && text === '') ||
      (isOpenEnded(answer) && whole.startsWith(text));
    return isGood(answer) && (text === whole || isShort || isFilledUp);
  });
  return fits ? [] : [`a body that is not that of ${id}: ${text.slice(0, 80)} (${text.length})`];
};

const CHECKS = { plain: checkPlain, slow: checkPlain, stream: checkEvents, item: checkEvents };

/** The faults of what a call's caller got, by what the upstream has sent for it. */
const checkCall = (
  { reader }: WireCall,
  id: string,
  got: Reception,
  sent: SentAnswer[],
  allSent: SentAnswer[],
): string[] => {
  if (reader === 'report' || reader === 'order') return [];
  // A head may name a stamp twice.
  const isSigned = got.stamp?.split(',')[0] === `stamp-${id}` || reader === 'item';
  const hasCountedOnce = got.isSuccess ? sent.length <= 1 : sent.length === 0;
  return [
    ...(allSent.every(isPlain) && !hasCountedOnce ? ['a whole answer that has not counted'] : []),
    ...(got.isSuccess && !sent.some(isGood) ? ['a success that the upstream has not given'] : []),
    ...(got.isSuccess && !isSigned ? [`a success with the stamp ${got.stamp}`] : []),
    ...CHECKS[reader](id, got, sent),
  ].map((fault) => `${id}: ${fault}`);
};

const endsInTime = async (call: Promise<Reception>): Promise<Reception | null> => {
  const timeout = newDeadlineSignal(newSystemClock(), performance.now() + MAX_CALL_MS);
  const late = new Promise<null>((resolve) => {
    timeout.signal.addEventListener('abort', () => resolve(null));
  });
  return Promise.race([call, late]).finally(timeout.end);
};

/** Plays a script of calls to one upstream; @returns what was wrong. */
const playWireScript = async (calls: WireCall[]): Promise<string[]> => {
  const upstream = await newScriptedUpstream(calls);
  const host = newWireHost(upstream.port);
  const play = async (call: WireCall, index: number): Promise<string[]> => {
    const id = `r-${index}-${call.reader}`;
    upstream.setCurrent(index);
    const before = upstream.sent.length;
    try {
      const got = await endsInTime(host.call(call.reader, id));
      return got
        ? checkCall(call, id, got, upstream.sent.slice(before), upstream.sent)
        : [`${id} has no end`];
    } catch (error) {
      return [`${id} has thrown ${(error as Error).stack}`];
    }
  };
  const faults: string[] = [];
  for (const [index, call] of calls.entries()) faults.push(...(await play(call, index)));
  host.close();
  upstream.close();
  return [...faults, ...upstream.faults];
};

export default playWireScript;
