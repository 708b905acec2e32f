/**
A TCP relay between two processes that can simulate a network partition.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

export class Relay {
	private readonly _sockets = new Set<Socket>();
	private readonly _server = createServer(socket => {
		this._accept(socket);
	});

	/** Starts to forward what was held up, for each connection that came during {@link hold}. */
	private readonly _heldConnections = new Set<() => void>();
	/** Number of connections accepted so far. */
	accepted = 0;
	private _targetUrl: URL | undefined;
	private _isBlocked = false;
	private _isHolding = false;
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
			relay.setTarget(target);
		}

		return relay;
	}

	/** Sets the URL of the server that new connections are forwarded to. */
	setTarget(target: string): void {
		this._targetUrl = new URL(target);
	}

	/** Stops forwarding but keeps connections open, as a network partition does, until {@link unblock}. */
	block(): void {
		this._isBlocked = true;
		for (const socket of this._sockets) {
			socket.unpipe();
			socket.pause();
		}
	}

	/** Stops forwarding on all open connections for good, without closing them; new ones work. */
	silence(): void {
		for (const socket of this._sockets) {
			socket.unpipe();
			socket.pause();
		}
	}

	/** Closes all open connections and forwards new ones again. */
	unblock(): void {
		this._isBlocked = false;
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	/** Holds up what comes on new connections, until {@link release}. */
	hold(): void {
		this._isHolding = true;
	}

	/** Forwards what was held up, except on connections that their sender has reset meanwhile: such bytes are lost. */
	release(): void {
		this._isHolding = false;
		for (const forward of this._heldConnections) {
			forward();
		}

		this._heldConnections.clear();
	}

	/** Closes all open connections and refuses new ones, until {@link accept}. */
	refuse(): void {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	/** Accepts connections again, at the same address. */
	async accept(): Promise<void> {
		this._server.listen(Number(new URL(this._address).port), '127.0.0.1');
		await once(this._server, 'listening');
	}

	close(): void {
		for (const socket of this._sockets) {
			socket.destroy();
		}

		this._server.close();
	}

	private _accept(socket: Socket): void {
		this.accepted++;
		this._track(socket);
		if (this._isBlocked || !this._targetUrl) {
			socket.pause();
			return;
		}

		if (this._isHolding) {
			this._hold(socket);
			return;
		}

		this._forward(socket);
	}

	private _hold(socket: Socket): void {
		const chunks: Buffer[] = [];
		const forward = () => {
			socket.removeAllListeners('data');
			const upstream = this._forward(socket);
			upstream.write(Buffer.concat(chunks));
		};

		socket.on('data', chunk => {
			chunks.push(chunk);
		});
		socket.once('error', () => {
			this._heldConnections.delete(forward);
		});
		this._heldConnections.add(forward);
	}

	private _forward(socket: Socket): Socket {
		const target = this._targetUrl!;
		const upstream = connect(Number(target.port), target.hostname);
		this._track(upstream);
		socket.pipe(upstream);
		upstream.pipe(socket);
		socket.once('close', () => {
			upstream.destroy();
		});
		upstream.once('close', () => {
			socket.destroy();
		});
		return upstream;
	}

	private _track(socket: Socket): void {
		this._sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('close', () => {
			this._sockets.delete(socket);
		});
	}
}
