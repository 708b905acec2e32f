/**
The platform as the daemon uses it: three narrow interfaces.
*/
import {type Buffer} from 'node:buffer';
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {type Instance} from '../../core/types.js';

export type Table = {
	run(operation: TableOperation): Promise<TableAnswer>;
};

export type ObjectStore = {
	/** Whether the object was stored. */
	put(key: string, body: Buffer): Promise<boolean>;
	get(key: string): Promise<Buffer | undefined>;
};

export type InstanceList = {
	/** The platform's lagging list, undefined when it cannot be had. */
	read(): Promise<Instance[] | undefined>;
};

export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly instances: InstanceList;
	close(): Promise<void>;
};
