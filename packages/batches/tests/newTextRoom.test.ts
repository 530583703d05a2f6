import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import test from 'ava';
import newTextRoom from '../src/newTextRoom.js';
import type { RunRoom } from '../src/newTextRoom.js';
import { newProgress } from '../src/progress.js';

const LIMIT_BYTES = 10_000_000;

const newFixture = () => {
  const memory = newTestMemory(LIMIT_BYTES);
  const textRoom = newTextRoom(memory);
  const newTask = (text = '') => {
    const progress = newProgress();
    if (text !== '') progress.events.push(text);
    return { progress, textLease: memory.hold('texts', 0) };
  };
  return { memory, textRoom, newTask };
};

test('items start only while their texts have room, and all of them end', (t) => {
  // Guards against a host that ends since it generates more long texts than it can hold.
  const { memory, textRoom, newTask } = newFixture();
  const text = 'x'.repeat(300_000);
  let waiting = Array.from({ length: 100 }, () => newTask());
  let ended = 0;
  let rounds = 0;
  while (waiting.length > 0 && rounds < 1_000) {
    rounds += 1;
    const runs = waiting.flatMap((task) => {
      const room = textRoom.begin(task);
      return room ? [{ task, room }] : [];
    });
    t.true(runs.length > 0);
    const dropped = runs.filter(({ task, room }) => {
      const isHeld = room.hold(text.length);
      if (isHeld) task.progress.events.push(text);
      room.end(isHeld);
      t.true(memory.heldBytes('texts') <= LIMIT_BYTES);
      return !isHeld;
    });
    const whole = runs.filter((run) => !dropped.includes(run));
    whole.forEach(({ task }) => task.textLease.release());
    ended += whole.length;
    waiting = waiting.filter((task) => !whole.some((run) => run.task === task));
  }
  t.is(ended, 100);
  t.is(memory.heldBytes('texts'), 0);
});

test('an item that has text goes on though there is no room for others', (t) => {
  // Guards against interrupted texts that fill the room, so that no item starts ever again.
  const { memory, textRoom, newTask } = newFixture();
  memory.hold('texts', LIMIT_BYTES);
  t.is(textRoom.begin(newTask()), null);
  const room = textRoom.begin(newTask('begun')) as RunRoom;
  t.false(room.hold(1_000));
});

test('an event that never ends is held up to the limit only', (t) => {
  const { memory, textRoom, newTask } = newFixture();
  const room = textRoom.begin(newTask()) as RunRoom;
  let chunks = 0;
  while (room.hold(10_000)) chunks += 1;
  t.true(chunks > 100 && memory.heldBytes('texts') <= LIMIT_BYTES);
  room.end(false);
  t.is(memory.heldBytes('texts'), 0);
  // Guards against a host that expects all texts to be as long, and starts none any more.
  const others = Array.from({ length: 3 }, () => textRoom.begin(newTask()));
  t.true(others.every((other) => other !== null));
});
