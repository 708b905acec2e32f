/**
A link between callers and an instance that takes its time in each direction, passes on the
end of each direction by itself, and loses what it holds when the sender resets.
*/
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

const PROBE_INTERVAL_MS = 5;

export class DelayedLink {
	private readonly _sockets = new Set<Socket>();
	private readonly _server = createServer({allowHalfOpen: true, noDelay: true}, socket => {
		const upstream = connect({
			port: this._port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true,
		});
		this._forward(socket, upstream);
		this._forward(upstream, socket);
	});

	private constructor(private readonly _port: number, private readonly _delayMs: number) {}

	static async start(port: number, delayMs: number): Promise<DelayedLink> {
		const link = new DelayedLink(port, delayMs);
		link._server.listen(0, '127.0.0.1');
		await once(link._server, 'listening');
		return link;
	}

	get port(): number {
		return (this._server.address() as AddressInfo).port;
	}

	close(): void {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	private _forward(from: Socket, to: Socket): void {
		const held = new Set<NodeJS.Timeout>();
		const later = (action: () => void): void => {
			const timer = setTimeout(() => {
				held.delete(timer);
				action();
			}, this._delayMs);
			held.add(timer);
		};

		this._sockets.add(from);
		from.on('data', (data: Buffer) => {
			later(() => {
				to.write(data);
			});
		});
		from.on('end', () => {
			later(() => {
				to.end();
			});
			// After the end of the input, Node.js notices a reset by writes only.
			const probes = setInterval(() => {
				if (from.writable) {
					from.write('');
				}
			}, PROBE_INTERVAL_MS);
			from.once('close', () => {
				clearInterval(probes);
			});
		});
		from.on('error', () => {
			for (const timer of held) {
				clearTimeout(timer);
			}

			later(() => {
				to.resetAndDestroy();
			});
		});
		from.on('close', () => {
			this._sockets.delete(from);
		});
	}
}
