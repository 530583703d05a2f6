import { z } from 'zod';

/** Without leading zeros, which a URL reads as octal figures: `010.0.0.1` is the machine 8.0.0.1. */
const FIGURE = '(0|[1-9]\\d{0,4})';
const PATTERN = new RegExp(`^${Array(4).fill(FIGURE).join('\\.')}:${FIGURE}$`);
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/** An IP address and a port, separated. */
export interface Address {
  host: string;
  port: number;
}

/** Whether a text is an IPv4 address and a port that a connection can be made to. */
export const isAddress = (text: string): boolean => {
  const [port = 0, ...octets] = (PATTERN.exec(text)?.slice(1) ?? []).map(Number).reverse();
  return port >= 1 && port <= MAX_PORT && octets.every((octet) => octet <= MAX_OCTET);
};

export const addressSchema = z.string().refine(isAddress, 'an IPv4 address and a port');

/** @param address a valid one */
export const parseAddress = (address: string): Address => {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
};
