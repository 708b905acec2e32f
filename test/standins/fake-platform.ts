/**
A fake platform over HTTP: the transactional table, the object store and the instance list.
*/
import {type Buffer} from 'node:buffer';
import {fastify, type FastifyInstance} from 'fastify';
import {type TableOperation} from '../../src/core/table.js';
import {type Instance} from '../../src/core/types.js';
import {FakeTable} from './fake-table.js';

export class FakePlatform {
	readonly table = new FakeTable();
	readonly objects = new Map<string, Buffer>();
	readonly instances = new Map<string, Instance>();
	/** Whether every request fails with status 503, as in an outage. */
	isDown = false;
	private readonly _server: FastifyInstance = fastify({bodyLimit: 64 * 1024 * 1024, forceCloseConnections: true});
	private _address = '';

	get address(): string {
		return this._address;
	}

	get settings() {
		return {table: this._address, objects: this._address, instances: this._address};
	}

	static async start(port = 0): Promise<FakePlatform> {
		const platform = new FakePlatform();
		await platform._listen(port);
		return platform;
	}

	async close(): Promise<void> {
		this._server.server.closeAllConnections();
		await this._server.close();
	}

	private async _listen(port: number): Promise<void> {
		const server = this._server;
		server.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
			done(null, body);
		});
		server.addHook('onRequest', async (request, reply) => this.isDown ? reply.code(503).send({}) : undefined);
		server.post('/table', async (request, reply) => {
			const answer = this.table.run(request.body as TableOperation);
			if (answer.kind === 'lost') {
				void reply.hijack();
				reply.raw.destroy();
				return reply;
			}

			return answer.kind === 'unavailable' ? reply.code(503).send({}) : answer;
		});
		server.put<{Params: {key: string}}>('/objects/:key', async (request, reply) => {
			this.objects.set(request.params.key, request.body as Buffer);
			return reply.code(204).send();
		});
		server.get<{Params: {key: string}}>('/objects/:key', async (request, reply) => {
			const object = this.objects.get(request.params.key);
			return object ? reply.type('application/octet-stream').send(object) : reply.code(404).send();
		});
		server.get('/instances', async () => [...this.instances.values()]);
		server.post('/instances', async request => {
			const instance = request.body as Instance;
			this.instances.set(instance.id, instance);
			return {};
		});
		this._address = await server.listen({host: '127.0.0.1', port});
	}
}
