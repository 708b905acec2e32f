/**
A TCP relay that stands between two processes and can be cut.
*/
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

export class Relay {
	private readonly _sockets = new Set<Socket>();
	private readonly _server = createServer(socket => {
		this._accept(socket);
	});

	private _target: URL | undefined;
	private _isCut = false;
	private _address = '';

	get address(): string {
		return this._address;
	}

	static async start(target?: string): Promise<Relay> {
		const relay = new Relay();
		relay._server.listen(0, '127.0.0.1');
		await once(relay._server, 'listening');
		relay._address = `http://127.0.0.1:${(relay._server.address() as AddressInfo).port}`;
		if (target) {
			relay.lead(target);
		}

		return relay;
	}

	/** Sets where new connections lead. */
	lead(target: string): void {
		this._target = new URL(target);
	}

	/** While cut, connections are held open and pass nothing on, as a partition does. */
	cut(): void {
		this._isCut = true;
		for (const socket of this._sockets) {
			socket.unpipe();
			socket.pause();
		}
	}

	/** Ends what the cut held open; new connections pass again. */
	rejoin(): void {
		this._isCut = false;
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	close(): void {
		for (const socket of this._sockets) {
			socket.destroy();
		}

		this._server.close();
	}

	private _accept(socket: Socket): void {
		this._keep(socket);
		if (this._isCut || !this._target) {
			socket.pause();
			return;
		}

		const upstream = connect(Number(this._target.port), this._target.hostname);
		this._keep(upstream);
		socket.pipe(upstream);
		upstream.pipe(socket);
		socket.once('close', () => {
			upstream.destroy();
		});
		upstream.once('close', () => {
			socket.destroy();
		});
	}

	private _keep(socket: Socket): void {
		this._sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('close', () => {
			this._sockets.delete(socket);
		});
	}
}
