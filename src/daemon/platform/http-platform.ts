/**
Clients of the platform's services over HTTP.
*/
import {Buffer} from 'node:buffer';
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {type Instance} from '../../core/types.js';
import {ConnectionPool, isUnwritten} from '../gateways/connection-pool.js';
import {
	type InstanceList, type ObjectStore, type Platform, type Table,
} from './types.js';

const TABLE_TIMEOUT_MS = 1500;
const OBJECT_TIMEOUT_MS = 5000;
const INSTANCE_LIST_TIMEOUT_MS = 1500;

export type PlatformAddresses = {
	readonly table: string;
	readonly objects: string;
	readonly instances: string;
};

class HttpTable implements Table {
	constructor(private readonly _connectionPool: ConnectionPool) {}

	async run(operation: TableOperation): Promise<TableAnswer> {
		try {
			const response = await this._connectionPool.request({
				method: 'POST',
				path: '/table',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(operation),
				signal: AbortSignal.timeout(TABLE_TIMEOUT_MS),
			});
			const answer = await response.body.json() as TableAnswer;
			return response.statusCode === 200 ? answer : failureAnswer(operation, response.statusCode === 503);
		} catch (error) {
			return failureAnswer(operation, isUnwritten(error));
		}
	}
}

/** The answer for an operation without a usable response. A read changed nothing; a write may have taken effect unless it was not sent or was rejected with 503. */
function failureAnswer(operation: TableOperation, isNotSent: boolean): TableAnswer {
	return operation.kind === 'write' && !isNotSent ? {kind: 'lost'} : {kind: 'unavailable'};
}

class HttpObjectStore implements ObjectStore {
	constructor(private readonly _connectionPool: ConnectionPool) {}

	async put(key: string, body: Buffer): Promise<boolean> {
		try {
			const response = await this._connectionPool.request({
				method: 'PUT',
				path: objectPath(key),
				body,
				signal: AbortSignal.timeout(OBJECT_TIMEOUT_MS),
			});
			await response.body.dump();
			return response.statusCode < 300;
		} catch {
			return false;
		}
	}

	async get(key: string): Promise<Buffer | undefined> {
		try {
			const response = await this._connectionPool.request({
				method: 'GET',
				path: objectPath(key),
				signal: AbortSignal.timeout(OBJECT_TIMEOUT_MS),
			});
			const body = Buffer.from(await response.body.arrayBuffer());
			return response.statusCode === 200 ? body : undefined;
		} catch {
			return undefined;
		}
	}
}

function objectPath(key: string): string {
	return `/objects/${encodeURIComponent(key)}`;
}

class HttpInstanceList implements InstanceList {
	constructor(private readonly _connectionPool: ConnectionPool) {}

	async read(): Promise<Instance[] | undefined> {
		try {
			const response = await this._connectionPool.request({
				method: 'GET',
				path: '/instances',
				signal: AbortSignal.timeout(INSTANCE_LIST_TIMEOUT_MS),
			});
			const instances = await response.body.json() as Instance[];
			return response.statusCode === 200 ? instances : undefined;
		} catch {
			return undefined;
		}
	}
}

export function createHttpPlatform(addresses: PlatformAddresses): Platform {
	const table = new ConnectionPool(addresses.table);
	const objects = new ConnectionPool(addresses.objects);
	const instances = new ConnectionPool(addresses.instances);
	return {
		table: new HttpTable(table),
		objects: new HttpObjectStore(objects),
		instances: new HttpInstanceList(instances),
		async close() {
			await Promise.all([table.close(), objects.close(), instances.close()]);
		},
	};
}
