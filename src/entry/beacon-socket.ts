/**
UDP socket for beacons. Datagrams may be lost, duplicated or delayed, so each beacon is
self-contained.
*/
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {type Beacon} from '../core/entry/peer-messages.js';

/** Larger beacons do not fit into a datagram and are dropped. */
const DATAGRAM_BYTES_MAX = 60_000;

export class BeaconSocket {
	private readonly _socket: Socket = createSocket('udp4');

	constructor(onBeacon: (beacon: Beacon) => void) {
		this._socket.on('message', message => {
			const beacon = decodeBeacon(message);
			if (beacon) {
				onBeacon(beacon);
			}
		});
		this._socket.on('error', () => {
			// A failed send counts as a lost datagram.
		});
	}

	async listen({host, port}: {host: string; port: number}): Promise<void> {
		return new Promise(resolve => {
			this._socket.bind(port, host, resolve);
		});
	}

	send(addresses: readonly string[], beacon: Beacon): void {
		const message = Buffer.from(JSON.stringify(beacon));
		if (message.length > DATAGRAM_BYTES_MAX) {
			return;
		}

		for (const address of addresses) {
			const colon = address.lastIndexOf(':');
			this._socket.send(message, Number(address.slice(colon + 1)), address.slice(0, colon), () => undefined);
		}
	}

	close(): void {
		this._socket.close();
	}
}

function decodeBeacon(message: Buffer): Beacon | undefined {
	try {
		const beacon = JSON.parse(message.toString('utf8')) as Beacon;
		return typeof beacon.from.id === 'string' ? beacon : undefined;
	} catch {
		// Not a beacon: some other program sent the datagram.
		return undefined;
	}
}
