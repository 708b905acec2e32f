/**
A fake model engine with an OpenAI-compatible HTTP API. The words of an answer depend on
the prompt alone, so that tests can check every complete answer. It runs requests
concurrently, keeps streams so that they can be resumed, and executes orders to load and
unload models.
*/
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import {type Order} from '../../src/core/placement/types.js';

export type EngineOptions = {
	readonly checksFencing?: boolean;
	readonly memoryMb: number;
	/** Number of words in a complete answer. */
	readonly words?: number;
	readonly wordDelayMs?: number;
	readonly loadDelayMs?: number;
	readonly slots?: number;
	/** Copies that are resident from the start: size in MB by `name@version`. */
	readonly resident?: Readonly<Record<string, number>>;
	readonly port?: number;
};

type CompletionBody = {
	readonly model: string;
	readonly stream?: boolean;
	readonly messages?: ReadonlyArray<{role: string; content: string}>;
	readonly prompt?: string;
	readonly continue_final_message?: boolean;
};

/** A prompt that contains this text crashes the engine. */
export const CRASH_MARKER = 'crash-the-engine';

/** Returns the words of the complete answer to a prompt. */
export function answerWords(prompt: string, words: number): string[] {
	let seed = 7;
	for (const character of prompt) {
		seed = ((seed * 31) + (character.codePointAt(0) ?? 0)) % 9973;
	}

	return Array.from({length: words}, (_, index) => `w${(seed + index) % 1000} `);
}

export class FakeEngine {
	readonly resident: Map<string, number>;
	/** Prompts of the executed requests in the order in which they started. */
	readonly executedPrompts: string[] = [];
	boot = randomUUID();
	peakMemoryMb = 0;
	crashes = 0;
	loads = 0;
	unloads = 0;
	isLeaving = false;
	/** Closes the connection of the next stream after this many words. */
	breakAfterWords: number | undefined;
	/** Stops sending in the next stream after this many words, with the connection left open. */
	silentAfterWords: number | undefined;
	private readonly _streamWords = new Map<string, string[]>();
	private _running = 0;
	private _highestFencingToken = 0;
	private _server: FastifyInstance | undefined;
	private _address = '';
	private _port: number;

	constructor(private readonly _options: EngineOptions) {
		this.resident = new Map(Object.entries(_options.resident ?? {}));
		this._port = _options.port ?? 0;
	}

	get address(): string {
		return this._address;
	}

	get memoryMb(): number {
		return [...this.resident.values()].reduce((sum, size) => sum + size, 0);
	}

	static async start(options: EngineOptions): Promise<FakeEngine> {
		const engine = new FakeEngine(options);
		await engine.open();
		return engine;
	}

	async open(): Promise<void> {
		const server = fastify({forceCloseConnections: true, bodyLimit: 64 * 1024 * 1024});
		this._server = server;
		server.post('/v1/chat/completions', async (request, reply) => this._complete(request.body as CompletionBody, String(request.headers['x-request-id']), reply));
		server.post('/v1/completions', async (request, reply) => this._complete(request.body as CompletionBody, String(request.headers['x-request-id']), reply));
		server.get<{Params: {id: string}; Querystring: {from: string}}>('/v1/streams/:id', async (request, reply) => {
			const words = this._streamWords.get(request.params.id);
			return words ? this._stream(words.slice(Number(request.query.from)), request.params.id, reply) : reply.code(404).send({});
		});
		server.get('/load', async () => ({
			boot: this.boot,
			running: this._running,
			waiting: 0,
			models: [...this.resident.keys()],
			adapters: [],
			leaving: this.isLeaving,
		}));
		server.post('/orders', async (request, reply) => this._applyOrder(request.body as Order, reply));
		this._address = await server.listen({host: '127.0.0.1', port: this._port});
		this._port = Number(new URL(this._address).port);
	}

	async close(): Promise<void> {
		this._server?.server.closeAllConnections();
		await this._server?.close();
	}

	/** Simulates a crash of the process: connections break, and models, streams and the highest fencing token are lost. */
	async crash(): Promise<void> {
		this.crashes++;
		this.resident.clear();
		this._streamWords.clear();
		this._running = 0;
		this._highestFencingToken = 0;
		this.boot = randomUUID();
		await this.close();
	}

	private async _complete(body: CompletionBody, id: string, reply: FastifyReply): Promise<FastifyReply> {
		const {_options: options} = this;
		const prompt = body.prompt ?? body.messages?.find(({role}) => role === 'user')?.content ?? '';
		if (prompt.includes(CRASH_MARKER)) {
			void this.crash();
			return reply;
		}

		if (options.slots !== undefined && this._running >= options.slots) {
			return reply.code(429).send({});
		}

		this.executedPrompts.push(prompt);
		const allWords = answerWords(prompt, options.words ?? 8);
		const continuedText = body.continue_final_message ? body.messages?.at(-1)?.content ?? '' : '';
		const words = allWords.slice(continuedText.split(' ').length - 1);
		if (body.stream) {
			this._streamWords.set(id, allWords);
			return this._stream(words, id, reply);
		}

		this._running++;
		await sleep(words.length * (options.wordDelayMs ?? 1));
		this._running--;
		return reply.send({
			id,
			object: 'chat.completion',
			created: 0,
			model: body.model,
			choices: [{
				index: 0,
				message: {role: 'assistant', content: words.join('')},
				text: words.join(''),
				finish_reason: 'stop',
			}],
			usage: {prompt_tokens: 1, completion_tokens: words.length, total_tokens: words.length + 1},
		});
	}

	private async _stream(words: readonly string[], id: string, reply: FastifyReply): Promise<FastifyReply> {
		const {boot} = this;
		const breakIndex = this.breakAfterWords;
		const silentIndex = this.silentAfterWords;
		this.breakAfterWords = undefined;
		this.silentAfterWords = undefined;
		void reply.hijack();
		reply.raw.writeHead(200, {'content-type': 'text/event-stream'});
		this._running++;
		for (const [index, word] of words.entries()) {
			if (index === breakIndex) {
				reply.raw.destroy();
				break;
			}

			if (index === silentIndex) {
				return this._finishStream(boot, reply);
			}

			const chunk = {
				id,
				object: 'chat.completion.chunk',
				created: 0,
				model: 'm',
				choices: [{
					index: 0,
					delta: {content: word},
					text: word,
					finish_reason: null,
				}],
			};
			reply.raw.write(`data: ${JSON.stringify(chunk)}\n\n`);
			await sleep(this._options.wordDelayMs ?? 1);
			if (reply.raw.destroyed) {
				break;
			}
		}

		reply.raw.end('data: [DONE]\n\n');
		return this._finishStream(boot, reply);
	}

	private _finishStream(boot: string, reply: FastifyReply): FastifyReply {
		if (boot === this.boot) {
			this._running--;
		}

		return reply;
	}

	private async _applyOrder(order: Order, reply: FastifyReply): Promise<FastifyReply> {
		if (this._options.checksFencing && order.fence <= this._highestFencingToken) {
			return reply.code(409).send({});
		}

		this._highestFencingToken = Math.max(this._highestFencingToken, order.fence);
		const {boot} = this;
		await sleep(this._options.loadDelayMs ?? 5);
		if (boot !== this.boot) {
			return reply;
		}

		const name = `${order.model}@${order.version}`;
		if (order.kind === 'load-model') {
			this.loads += this.resident.has(name) ? 0 : 1;
			this.resident.set(name, order.memoryMb);
			this.peakMemoryMb = Math.max(this.peakMemoryMb, this.memoryMb);
		} else {
			this.unloads += this.resident.delete(name) ? 1 : 0;
		}

		return reply.send({});
	}
}
