/**
The configurations of a soak, as the platform's operators write them.
*/
import {modelNames} from './target.js';

/** Time that callers state, and the routes' timeout. */
export const DEADLINE_MS = 3000;
export const FIRST_VERSION = 4;
const IDLE_TIMEOUT_MS = 5000;

const route = {
	host: 'a.example', timeoutMs: DEADLINE_MS, targetLatencyMs: 300, priority: 1,
};

const routes = [
	{
		...route, name: 'sign', prefix: '/sign/', kind: 'non_idempotent', service: 'records', maxAttempts: 2,
	},
	{
		...route, name: 'read', prefix: '/read/', kind: 'idempotent', service: 'records', maxAttempts: 2,
	},
	{
		...route, name: 'tell', prefix: '/tell/', kind: 'streaming', service: 'llm', maxAttempts: 2, gapAimMs: 200,
	},
	{
		...route, name: 'ask', prefix: '/ask/', kind: 'streaming', service: 'llm', maxAttempts: 2, resumable: true, gapAimMs: 200,
	},
];

const content = {
	services: [
		{name: 'records', maxConns: 700},
		{
			name: 'llm', maxConns: 700, engine: {
				slots: 4, weightsMb: 200_000, adapterSlots: 8, loadsPerS: 10, models: modelNames.map(name => ({
					name, weightsMb: 60_000, loadTimeS: 0.3, adapters: 0, adapterMb: 0,
				})),
			},
		},
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: IDLE_TIMEOUT_MS,
	},
};

/** The second workspace has a quota that its callers exceed at times. */
export const tenants = [
	{name: 'large', apiKeys: ['key-large']},
	{
		name: 'small', apiKeys: ['key-small'], unit: 'requests', ratePerS: 20, burst: 20,
	},
];

/** The configuration of a version: its content is the same but for one route, which comes and goes. */
export function createConfiguration(version: number): object {
	return {
		version, tenants, ...content, routes: version % 2 === 0 ? routes : [...routes, {...routes[1]!, name: 'more', prefix: '/more/'}],
	};
}
