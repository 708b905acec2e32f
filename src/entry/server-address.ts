/**
Addresses of servers, as an IPv4 address and a port.
*/
import {isIPv4} from 'node:net';

const PORT_MAX = 65_535;

/** Whether a server can listen there. `connect` throws on a port out of range. */
export function isServerAddress(text: string): boolean {
	const {host, port} = /^(?<host>[\d.]+):(?<port>\d{1,5})$/v.exec(text)?.groups ?? {};
	return host !== undefined && isIPv4(host) && Number(port) >= 1 && Number(port) <= PORT_MAX;
}
