/**
A row store whose calls are counted by kind and outcome.
*/
import {type Either} from 'purify-ts';
import {type EntryMetrics} from './entry-metrics.js';
import {type RowStore, type StoreFailure} from './services.js';

export function countCalls(store: RowStore, metrics: EntryMetrics): RowStore {
	async function counted<Value>(kind: string, call: Promise<Either<StoreFailure, Value>>): Promise<Either<StoreFailure, Value>> {
		const answer = await call;
		answer.caseOf({
			Left(failure) {
				metrics.noteStoreCall(kind, failure);
			},
			Right() {
				metrics.noteStoreCall(kind, 'done');
			},
		});
		return answer;
	}

	return {
		read: async (table, key) => counted('read', store.read(table, key)),
		changes: async (table, afterRevision, waitMs) => counted('changes', store.changes(table, afterRevision, waitMs)),
		write: async write => counted('write', store.write(write)),
		close: async () => store.close(),
	};
}
