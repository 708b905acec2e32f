/**
An in-memory fake of the platform's transactional table. Its faults are an outage, an
answer lost before or after the operation is applied, and an operation that is applied
only after its caller has received a failed answer.
*/
import {type Row, type TableAnswer, type TableOperation} from '../../src/core/table.js';

export type TableFault = 'none' | 'unavailable' | 'lost-before' | 'lost-after' | 'late';

export class FakeTable {
	/** Selects the fault of each operation. */
	fault: (operation: TableOperation) => TableFault = () => 'none';
	/** Schedules an operation with the fault `late`, whose caller receives a failed answer; by default it is applied at once. */
	scheduleLate: (run: () => void) => void = run => {
		run();
	};

	reads = 0;
	writes = 0;
	private readonly _rows = new Map<string, Row>();
	private _revision = 0;

	run(operation: TableOperation): TableAnswer {
		const fault = this.fault(operation);
		if (fault === 'unavailable') {
			return {kind: 'unavailable'};
		}

		if (fault === 'late') {
			this.scheduleLate(() => {
				this.apply(operation);
			});
			return failedAnswer(operation);
		}

		if (fault === 'lost-before') {
			return failedAnswer(operation);
		}

		const answer = this.apply(operation);
		return fault === 'lost-after' ? failedAnswer(operation) : answer;
	}

	apply(operation: TableOperation): TableAnswer {
		switch (operation.kind) {
			case 'read': {
				this.reads++;
				return {kind: 'rows', rows: operation.keys.map(key => this._row(key))};
			}

			case 'scan': {
				this.reads++;
				const rows = [...this._rows.values()]
					.filter(({key}) => key.startsWith(operation.prefix))
					.toSorted((a, b) => a.key.localeCompare(b.key));
				return {kind: 'rows', rows};
			}

			case 'write': {
				return this._write(operation);
			}
		}
	}

	value(key: string): unknown {
		return this._rows.get(key)?.value;
	}

	keys(): string[] {
		return [...this._rows.keys()];
	}

	private _write({conditions, puts}: Extract<TableOperation, {kind: 'write'}>): TableAnswer {
		this.writes++;
		const failed = conditions.map(({key}) => this._row(key)).filter((row, index) => row.revision !== conditions[index]?.revision);
		if (failed.length > 0) {
			return {kind: 'conflict', rows: failed};
		}

		const revisions: Record<string, number> = {};
		for (const {key, value} of puts) {
			this._revision++;
			revisions[key] = this._revision;
			this._rows.set(key, {key, revision: this._revision, value: structuredClone(value)});
		}

		return {kind: 'written', revisions};
	}

	private _row(key: string): Row {
		return this._rows.get(key) ?? {key, revision: 0, value: undefined};
	}
}

function failedAnswer({kind}: TableOperation): TableAnswer {
	return kind === 'write' ? {kind: 'lost'} : {kind: 'unavailable'};
}
