/**
Interfaces to the platform: table, object store and instance list.
*/
import {type Buffer} from 'node:buffer';
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {type Instance} from '../../core/types.js';

export type Table = {
	run(operation: TableOperation): Promise<TableAnswer>;
};

export type ObjectStore = {
	/** Resolves to whether the object was stored. */
	put(key: string, body: Buffer): Promise<boolean>;
	/** The stored object; undefined if it cannot be read. */
	get(key: string): Promise<Buffer | undefined>;
};

export type InstanceList = {
	/** The platform's list, which lags behind the actual instances; undefined if it cannot be read. */
	read(): Promise<Instance[] | undefined>;
};

export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly instances: InstanceList;
	close(): Promise<void>;
};
