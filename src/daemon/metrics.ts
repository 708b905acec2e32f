/**
Metrics over StatsD, disabled unless the settings enable them.
*/
import {StatsD} from 'hot-shots';
import {type Settings} from './settings.js';

export type Metrics = {
	count(metric: string, tags: Readonly<Record<string, string>>, value?: number): void;
	close(): void;
};

const disabledMetrics: Metrics = {
	count() {
		// Metrics are disabled.
	},
	close() {
		// There is no client to close.
	},
};

export function createMetrics({enabled, host, port}: Settings['metrics']): Metrics {
	if (!enabled) {
		return disabledMetrics;
	}

	// Without an error handler, a failed send would raise an uncaught error.
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
