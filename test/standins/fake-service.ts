/**
A fake plain service. Every POST adds an entry, and the entries are counted by
idempotency key, so that tests can detect duplicate executions.
*/
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {fastify, type FastifyInstance} from 'fastify';

export class FakeService {
	/** Number of entries by idempotency key. */
	readonly entryCounts = new Map<string, number>();
	readonly boot = randomUUID();
	delayMs = 5;
	/** Bytes of padding in each answer, to make answers larger than a table row may be. */
	paddingBytes = 0;
	/** Whether the connection is closed after the entry is added, before the answer is sent. */
	closesBeforeAnswer = false;
	private readonly _server: FastifyInstance = fastify({forceCloseConnections: true});
	private _running = 0;
	private _address = '';

	get address(): string {
		return this._address;
	}

	static async start(port = 0): Promise<FakeService> {
		const service = new FakeService();
		await service._listen(port);
		return service;
	}

	async close(): Promise<void> {
		this._server.server.closeAllConnections();
		await this._server.close();
	}

	private async _listen(port: number): Promise<void> {
		const server = this._server;
		server.get('/load', async () => ({
			boot: this.boot,
			running: this._running,
			waiting: 0,
			models: [],
			adapters: [],
		}));
		server.get('/*', async request => ({path: request.url}));
		server.post('/*', async (request, reply) => {
			this._running++;
			await sleep(this.delayMs);
			this._running--;
			const body = request.body as {trench?: string; order?: string} | undefined;
			const key = String(request.headers['idempotency-key'] ?? body?.trench ?? body?.order ?? '');
			const count = (this.entryCounts.get(key) ?? 0) + 1;
			this.entryCounts.set(key, count);
			if (this.closesBeforeAnswer) {
				void reply.hijack();
				reply.raw.destroy();
				return reply;
			}

			return {
				key,
				entry: count,
				id: randomUUID(),
				filler: 'x'.repeat(this.paddingBytes),
			};
		});
		this._address = await server.listen({host: '127.0.0.1', port});
	}
}
