/**
A TCP link between callers and a process that delays what it carries, in both directions. What it holds is lost
when the process ends, as with a network interface that goes with its container, if `cut` is called then.
*/
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

export type SlowLinkOptions = {
	readonly port: number;
	readonly delayMs: number;
};

export class SlowLink {
	private readonly _sockets = new Set<Socket>();
	private readonly _timers = new Set<NodeJS.Timeout>();
	private readonly _server = createServer({allowHalfOpen: true}, socket => {
		this._accept(socket);
	});

	private constructor(private readonly _options: SlowLinkOptions) {}

	static async start(options: SlowLinkOptions): Promise<SlowLink> {
		const link = new SlowLink(options);
		link._server.listen(0, '127.0.0.1');
		await once(link._server, 'listening');
		return link;
	}

	get port(): number {
		return (this._server.address() as AddressInfo).port;
	}

	/** Drops all that it holds, with the connections. */
	cut(): void {
		for (const timer of this._timers) {
			clearTimeout(timer);
		}

		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	close(): void {
		this.cut();
		this._server.close();
	}

	private _accept(caller: Socket): void {
		const instance = connect({port: this._options.port, host: '127.0.0.1', allowHalfOpen: true});
		this._carry(caller, instance);
		this._carry(instance, caller);
	}

	private _carry(from: Socket, to: Socket): void {
		this._sockets.add(from);
		from.on('data', data => {
			this._later(() => to.write(data));
		});
		from.once('end', () => {
			this._later(() => to.end());
		});
		from.once('error', () => {
			to.destroy();
		});
		from.once('close', () => {
			this._sockets.delete(from);
		});
	}

	private _later(action: () => void): void {
		const timer = setTimeout(() => {
			this._timers.delete(timer);
			action();
		}, this._options.delayMs);
		this._timers.add(timer);
	}
}
