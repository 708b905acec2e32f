/**
Builds configurations for tests of the decision core, and request arrivals that match them.
*/
import {parseConfiguration} from '../../src/core/configuration/schema.js';
import {type Configuration} from '../../src/core/configuration/types.js';
import {type Arrival} from '../../src/core/event.js';

export type TestTarget = {
	readonly id: string;
	readonly zone: string;
	readonly gateway?: 'engine-fenced' | 'engine-unfenced' | 'plain';
	readonly memoryMb?: number;
	readonly slots?: number;
};

export type ConfigurationOptions = {
	readonly targets: readonly TestTarget[];
	/** Memory of each model in MB, by model name. */
	readonly models?: Readonly<Record<string, number>>;
	readonly limits?: Record<string, unknown>;
};

export function testConfiguration({targets, models = {}, limits = {}}: ConfigurationOptions): Configuration {
	const document = {
		services: {
			llm: {kind: 'engine'},
			records: {
				kind: 'plain',
				routes: [
					{method: 'GET', path: '/', repeat: 'idempotent'},
					{
						method: 'POST', path: '/signoffs', repeat: 'once', key: {from: 'header'},
					},
				],
			},
		},
		targets: Object.fromEntries(targets.map(({id, zone, gateway = 'plain', memoryMb = 0, slots = 8}) => [id, {
			service: gateway === 'plain' ? 'records' : 'llm',
			address: 'http://127.0.0.1:1',
			zone,
			gateway,
			memoryMb,
			slots,
		}])),
		models: Object.fromEntries(Object.entries(models).map(([name, memoryMb]) => [name, {service: 'llm', memoryMb}])),
		callers: {anyone: {}},
		limits,
	};
	return parseConfiguration(document)
		.mapLeft(mistakes => new Error(JSON.stringify(mistakes)))
		.unsafeCoerce();
}

export function signOffArrival(id: string, key: string, options: Partial<Arrival> = {}): Arrival {
	return {
		id,
		destination: {
			kind: 'service',
			service: 'records',
			method: 'POST',
			path: '/signoffs',
		},
		keyHeader: key,
		contentHash: `content-${key}`,
		...options,
	};
}

export function lookupArrival(id: string, options: Partial<Arrival> = {}): Arrival {
	return {
		id,
		destination: {
			kind: 'service',
			service: 'records',
			method: 'GET',
			path: '/permits',
		},
		contentHash: `content-${id}`,
		...options,
	};
}

export function promptArrival(id: string, model: string, options: Partial<Arrival> = {}): Arrival {
	return {
		id,
		destination: {kind: 'model', name: model, stream: false},
		contentHash: `content-${id}`,
		...options,
	};
}
