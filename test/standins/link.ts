/**
A link between callers and a server as networks have them: it delays what it carries, passes
on that an end has closed its sending side, and loses what it holds when an end resets. It
may also lose that when told, as a link does that goes with its host.
*/
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

const HELD_BYTES_MAX = 16 * 1024;

export type LinkOptions = {
	readonly from: {readonly host: string; readonly port: number};
	readonly to: {readonly host: string; readonly port: number};
	/** Of a new connection, in each direction. */
	readonly delayMs: () => number;
};

/** Carries one direction of a connection; the returned function drops what is held, and resets both ends. */
function carry(from: Socket, to: Socket, delayMs: number): () => void {
	/** Without bytes, the sender has closed its sending side. */
	const held: Array<{readonly bytes?: Buffer; readonly dueMs: number}> = [];
	let heldBytes = 0;
	let timer: NodeJS.Timeout | undefined;
	const lose = () => {
		held.length = 0;
		to.resetAndDestroy();
		from.resetAndDestroy();
	};

	const deliver = () => {
		clearTimeout(timer);
		while (held.length > 0 && held[0]!.dueMs <= performance.now() && !to.writableNeedDrain) {
			const {bytes} = held.shift()!;
			heldBytes -= bytes?.length ?? 0;
			if (bytes) {
				to.write(bytes);
			} else {
				to.end();
			}
		}

		if (heldBytes <= HELD_BYTES_MAX) {
			from.resume();
		}

		if (held.length > 0 && !to.writableNeedDrain) {
			timer = setTimeout(deliver, Math.max(0, held[0]!.dueMs - performance.now()));
		}
	};

	const hold = (bytes?: Buffer) => {
		held.push({bytes, dueMs: performance.now() + delayMs});
		heldBytes += bytes?.length ?? 0;
		if (heldBytes > HELD_BYTES_MAX) {
			from.pause();
		}

		deliver();
	};

	from.on('data', hold).once('end', hold).once('error', lose);
	to.on('drain', deliver);
	return lose;
}

export class Link {
	private readonly _open = new Set<() => void>();
	private readonly _server: Server;

	private constructor(private readonly _options: LinkOptions) {
		this._server = createServer({allowHalfOpen: true, noDelay: true}, caller => {
			this._accept(caller);
		});
	}

	static async start(options: LinkOptions): Promise<Link> {
		const link = new Link(options);
		link._server.listen(options.from.port, options.from.host);
		await once(link._server, 'listening');
		return link;
	}

	get port(): number {
		return (this._server.address() as AddressInfo).port;
	}

	/** Drops what it holds, and resets both ends of each connection. */
	lose(): void {
		for (const lose of this._open) {
			lose();
		}
	}

	close(): void {
		this._server.close();
		this.lose();
	}

	private _accept(caller: Socket): void {
		const server = connect({...this._options.to, allowHalfOpen: true, noDelay: true});
		const delayMs = this._options.delayMs();
		carry(caller, server, delayMs);
		const lose = carry(server, caller, delayMs);
		this._open.add(lose);
		caller.once('close', () => {
			this._open.delete(lose);
		});
	}
}
