/**
The other instances of the system as this one knows them.
*/
import {randomBelow, type Context} from '../context.js';
import {type Instance, type InstanceId} from '../types.js';

export type Member = {
	instance: Instance;
	/** Exchanges in a row that failed. */
	failures: number;
	/** Whether the platform's list has named this process. */
	listed: boolean;
	/** When it was first missing from the platform's list. */
	unlistedAtMs: number | undefined;
};

export class MembershipState {
	/** All known instances but this one, the gone included for a while. */
	readonly members = new Map<InstanceId, Member>();
	/** Ids of members that may be talked to, in a fixed order for random picks. */
	private _reachable: InstanceId[] = [];
	private _stale = true;

	get size(): number {
		return this.members.size;
	}

	/** Forgets the prepared picks after a member changed. */
	invalidate(): void {
		this._stale = true;
	}

	isLive(id: InstanceId): boolean {
		const member = this.members.get(id);
		return member !== undefined && member.instance.state !== 'gone';
	}

	/** Whether the process with this boot is known to have ended. */
	isGone(id: InstanceId, boot: string): boolean {
		const member = this.members.get(id);
		return member !== undefined && (member.instance.boot !== boot || member.instance.state === 'gone');
	}

	/** Members that take part in the system, this instance not counted. */
	live(): Instance[] {
		return [...this.members.values()]
			.map(({instance}) => instance)
			.filter(({state}) => state === 'live');
	}

	/** Up to `wanted` different random members that are not gone. */
	pickPeers(context: Context, wanted: number, excluded?: ReadonlySet<InstanceId>): Instance[] {
		if (this._stale) {
			this._reachable = [...this.members.values()]
				.filter(({instance}) => instance.state !== 'gone')
				.map(({instance}) => instance.id)
				.toSorted((a, b) => a.localeCompare(b));
			this._stale = false;
		}

		const ids = this._reachable;
		const picked: Instance[] = [];
		const step = Math.min(wanted + (excluded?.size ?? 0), ids.length);
		// A partial shuffle: the picked ids come to stand at the front.
		for (let index = 0; index < step && picked.length < wanted; index++) {
			const other = index + randomBelow(context, ids.length - index);
			const id = ids[other]!;
			ids[other] = ids[index]!;
			ids[index] = id;
			const member = this.members.get(id);
			if (member && !excluded?.has(id)) {
				picked.push(member.instance);
			}
		}

		return picked;
	}

	toJSON(): unknown {
		return Object.fromEntries(this.members);
	}
}
