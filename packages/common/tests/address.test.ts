import test from 'ava';
import { isAddress, parseAddress } from '../src/address.js';

test('an address is an IPv4 address and a port that a connection can be made to', (t) => {
  // Guards against addresses of other programs that no call can be made to.
  ['10.0.0.1:1', '0.0.0.0:65535', '255.255.255.255:8080'].forEach((text) =>
    t.true(isAddress(text)),
  );
  const wrong = [
    ...['', ':', '10.0.0.1', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999'],
    ...['256.0.0.1:80', '999.0.0.1:80', '10.0.0:80', '10.0.0.0.1:80', '10.0.0.1:80:80', 'a:80'],
    ...['010.0.0.1:80', '10.0.0.08:80', '10.0.0.09:8000', '10.0.0.1:080', '00.0.0.1:80'],
    ...['10.0.0.1:80/x', '10.0.0.1:80\n', ' 10.0.0.1:80', '10.0.0.1:8e1', '[::1]:80', '1.1.1.1:-1'],
  ];
  wrong.forEach((text) => t.false(isAddress(text), text));
  t.deepEqual(parseAddress('10.0.0.1:8080'), { host: '10.0.0.1', port: 8080 });
});
