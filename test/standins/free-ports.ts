/**
Finds free TCP ports for daemons whose settings must name their ports. Another process
may take a port before the daemon listens on it.
*/
import {createServer, type AddressInfo, type Server} from 'node:net';

export async function freePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise<Server>(resolve => {
		const server = createServer();
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
