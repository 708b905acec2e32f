/**
A bounded map that evicts old entries in bulk. Entries live in two generations of half
the capacity each: when the young generation is full it replaces the old one, whose
entries are dropped. The map thus retains the newest entries, between half its capacity
and all of it, and never searches for an entry to evict.
*/

export class RecentMap<Value> {
	private _young = new Map<string, Value>();
	private _old = new Map<string, Value>();

	constructor(private readonly _capacity: number) {}

	get size(): number {
		return this._young.size + this._old.size;
	}

	get(key: string): Value | undefined {
		return this._young.get(key) ?? this._old.get(key);
	}

	has(key: string): boolean {
		return this._young.has(key) || this._old.has(key);
	}

	set(key: string, value: Value): void {
		this._old.delete(key);
		this._young.set(key, value);
		if (this._young.size * 2 >= this._capacity) {
			this._old = this._young;
			this._young = new Map();
		}
	}

	delete(key: string): void {
		this._young.delete(key);
		this._old.delete(key);
	}

	values(): Value[] {
		return [...this._old.values(), ...this._young.values()];
	}

	toJSON(): Record<string, Value> {
		return Object.fromEntries([...this._old, ...this._young]);
	}
}
