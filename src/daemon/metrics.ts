/**
Metrics over StatsD, off unless the settings turn them on.
*/
import {StatsD} from 'hot-shots';
import {type Settings} from './settings.js';

export type Metrics = {
	count(metric: string, tags: Readonly<Record<string, string>>, value?: number): void;
	close(): void;
};

const disabledMetrics: Metrics = {
	count() {
		// Metrics are off.
	},
	close() {
		// Nothing is open.
	},
};

export function createMetrics({enabled, host, port}: Settings['metrics']): Metrics {
	if (!enabled) {
		return disabledMetrics;
	}

	// Without the handler a lost datagram would be an uncaught error.
	const client = new StatsD({
		host, port, prefix: 'pollenarch.', errorHandler: () => undefined,
	});
	return {
		count(metric, tags, value = 1) {
			client.increment(metric, value, {...tags});
		},
		close() {
			client.close(() => undefined);
		},
	};
}
