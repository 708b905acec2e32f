/**
A map that keeps the newest entries up to a fixed number.
*/

export class RecentMap<Value> {
	private readonly _entries = new Map<string, Value>();

	constructor(private readonly _capacity: number) {}

	get size(): number {
		return this._entries.size;
	}

	get(key: string): Value | undefined {
		return this._entries.get(key);
	}

	has(key: string): boolean {
		return this._entries.has(key);
	}

	set(key: string, value: Value): void {
		this._entries.delete(key);
		this._entries.set(key, value);
		if (this._entries.size > this._capacity) {
			const oldest = this._entries.keys().next();
			if (!oldest.done) {
				this._entries.delete(oldest.value);
			}
		}
	}

	delete(key: string): void {
		this._entries.delete(key);
	}

	values(): IterableIterator<Value> {
		return this._entries.values();
	}

	toJSON(): Record<string, Value> {
		return Object.fromEntries(this._entries);
	}
}
