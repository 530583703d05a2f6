import test from 'ava';
import { newRecordAssembler } from '../src/recordPieces.js';
import type { PieceFault } from '../src/recordPieces.js';

const PIECE_CHARACTERS = 190_000;

test('a record in pieces with more values than a host bears is dropped', (t) => {
  // Guards against hosts that one record of 12 MB ends, again at each start: its values take many times
  // the memory of its text.
  const dropped: PieceFault[] = [];
  const assemble = newRecordAssembler((fault) => dropped.push(fault));
  const text = `[${'{},'.repeat(4_000_000)}0]`;
  const count = Math.ceil(text.length / PIECE_CHARACTERS);
  const assembled = Array.from({ length: count }, (_, index) => {
    const part = text.slice(index * PIECE_CHARACTERS, (index + 1) * PIECE_CHARACTERS);
    const data = Buffer.from(part).toString('base64');
    return assemble({ type: 'piece', id: 'odd', index, count, data });
  });
  t.deepEqual(new Set(assembled), new Set([null]));
  t.deepEqual(dropped, ['too-many-values']);
});
