import test from 'ava';
import countHeaderBytes from '../src/countHeaderBytes.js';

test('headers count as they came', (t) => {
  const lines = ['Host: a.example', 'x-empty: ', 'x: 1', 'x: 2'];
  const rawHeaders = lines.flatMap((line) => line.split(': '));
  t.is(countHeaderBytes({ rawHeaders }), `${lines.join('\r\n')}\r\n`.length);
});
