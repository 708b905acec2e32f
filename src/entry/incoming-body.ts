/**
The body of a request while it arrives. It ends whole, or with the reason why the request
is not passed on; what arrives after that is dropped.
*/
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {BlockList} from './block-list.js';

export type BodyFault = 'late' | 'too-large' | 'broken' | 'input-overload';

export type IncomingBodyOptions = {
	readonly maxBytes: number;
	/** Undefined if the request may take any time. */
	readonly timeoutMs: number | undefined;
	/** Called when the body takes more memory. */
	readonly onGrowth: () => void;
};

export class IncomingBody {
	/** Undefined once the body has ended. */
	private _blocks: BlockList | undefined = new BlockList();
	private _capacity = 0;
	private _end: (result: Buffer | BodyFault) => void = () => undefined;

	constructor(private readonly _request: IncomingMessage, private readonly _options: IncomingBodyOptions) {}

	/** Bytes that have arrived. */
	get length(): number {
		return this._blocks?.length ?? 0;
	}

	/** Memory that the body takes. */
	get capacity(): number {
		return this._capacity;
	}

	async read(): Promise<Buffer | BodyFault> {
		const {timeoutMs} = this._options;
		const request = this._request;
		if (request.destroyed) {
			return 'broken';
		}

		let timer: NodeJS.Timeout | undefined;
		if (timeoutMs !== undefined) {
			timer = setTimeout(() => {
				this._end('late');
			}, timeoutMs);
		}

		return new Promise(resolve => {
			this._end = result => {
				clearTimeout(timer);
				this._blocks = undefined;
				this._capacity = 0;
				resolve(result);
			};

			request.on('data', (chunk: Buffer) => {
				this._append(chunk);
			});
			request.once('end', () => {
				this._end(request.complete && this._blocks ? this._blocks.toBuffer() : 'broken');
			});
			// The caller disconnected before the end of the body, so a response would reach nobody.
			request.once('error', () => {
				this._end('broken');
			});
			request.once('close', () => {
				this._end('broken');
			});
		});
	}

	/** Leaves memory and time to others. */
	giveUp(): void {
		this._end('input-overload');
	}

	private _append(chunk: Buffer): void {
		const blocks = this._blocks;
		if (!blocks) {
			return;
		}

		if (blocks.length + chunk.length > this._options.maxBytes) {
			this._end('too-large');
			return;
		}

		blocks.append(chunk);
		if (blocks.capacity > this._capacity) {
			this._capacity = blocks.capacity;
			this._options.onGrowth();
		}
	}
}
