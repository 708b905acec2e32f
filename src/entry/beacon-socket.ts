/**
Datagrams that carry beacons. They may be lost, doubled or come late; each one stands
for itself.
*/
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {type Beacon} from '../core/entry/peer-messages.js';

/** Larger beacons do not fit a datagram. */
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
			// A datagram that cannot be sent is lost like one on the way.
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
		// Bytes that are no beacon come from a program that is none of ours.
		return undefined;
	}
}
