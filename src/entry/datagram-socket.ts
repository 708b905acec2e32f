/**
UDP socket for the short messages between instances. Datagrams may be lost, duplicated
or delayed, so each is self-contained.
*/
import {createSocket, type Socket} from 'node:dgram';
import {decodeDatagram, encodeDatagram, type Datagram} from './datagram-codec.js';

/** Larger beacons do not fit into a datagram and are dropped. */
const DATAGRAM_BYTES_MAX = 60_000;
const IPV4_FAMILY = 4;

export class DatagramSocket {
	private readonly _socket: Socket = createSocket({
		type: 'udp4',
		// Addresses are numeric; the default lookup would defer every send.
		lookup(address, _options, callback) {
			callback(null, address, IPV4_FAMILY);
		},
	});

	constructor(onDatagram: (datagram: Datagram) => void) {
		this._socket.on('message', message => {
			const datagram = decodeDatagram(message);
			if (datagram) {
				onDatagram(datagram);
			}
		});
		this._socket.on('error', () => {
			// A failed send counts as a lost datagram.
		});
	}

	async listen({host, port}: {host: string; port: number}): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this._socket.once('error', reject);
			this._socket.bind(port, host, () => {
				this._socket.off('error', reject);
				resolve();
			});
		});
	}

	send(addresses: readonly string[], datagram: Datagram): void {
		const message = encodeDatagram(datagram);
		if (message.length > DATAGRAM_BYTES_MAX) {
			return;
		}

		for (const address of addresses) {
			const colon = address.lastIndexOf(':');
			this._socket.send(message, Number(address.slice(colon + 1)), address.slice(0, colon));
		}
	}

	close(): void {
		this._socket.close();
	}
}
