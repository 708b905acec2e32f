/**
A row store whose calls are counted by kind and outcome.
*/
import {type Either} from 'purify-ts';
import {type EntryMetrics} from './entry-metrics.js';
import {type RowStore, type StoreFailure} from './deployment.js';

export function countStoreCalls(store: RowStore, metrics: EntryMetrics): RowStore {
	async function counted<Value>(kind: string, call: Promise<Either<StoreFailure, Value>>): Promise<Either<StoreFailure, Value>> {
		const answer = await call;
		answer.caseOf({
			Left(failure) {
				metrics.recordStoreCall(kind, failure);
			},
			Right() {
				metrics.recordStoreCall(kind, 'done');
			},
		});
		return answer;
	}

	return {
		read: async (table, key) => counted('read', store.read(table, key)),
		pollChanges: async (table, afterRevision, waitMs) => counted('changes', store.pollChanges(table, afterRevision, waitMs)),
		write: async write => counted('write', store.write(write)),
		close: async () => store.close(),
	};
}
