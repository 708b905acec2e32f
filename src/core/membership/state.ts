/**
The other instances of the deployment, as known to this instance.
*/
import {randomBelow, type Context} from '../context.js';
import {type Instance, type InstanceId} from '../types.js';

export type Member = {
	instance: Instance;
	/** Consecutive failed exchanges. */
	failures: number;
	/** Whether the platform's list has ever contained this member. */
	listed: boolean;
	/** When it was first found missing from the platform's list. */
	unlistedAtMs: number | undefined;
};

export class MembershipState {
	/** All known instances except this one. Those that are gone are kept for a while. */
	readonly members = new Map<InstanceId, Member>();
	/** Ids of members that are not gone; the array from which peers are drawn. */
	private _reachable: InstanceId[] = [];
	private _stale = true;

	get size(): number {
		return this.members.size;
	}

	/** Marks the cached ids as stale after a member changed. */
	invalidate(): void {
		this._stale = true;
	}

	/** Whether the member is known and not gone; unlike `live()`, this includes members that are leaving. */
	isLive(id: InstanceId): boolean {
		const member = this.members.get(id);
		return member !== undefined && member.instance.state !== 'gone';
	}

	/** Whether the process with this boot is known to have ended. */
	isGone(id: InstanceId, boot: string): boolean {
		const member = this.members.get(id);
		return member !== undefined && (member.instance.boot !== boot || member.instance.state === 'gone');
	}

	/** Members in state `live`, without this instance. */
	live(): Instance[] {
		return [...this.members.values()]
			.map(({instance}) => instance)
			.filter(({state}) => state === 'live');
	}

	/** Picks up to `count` distinct random members that are not gone. */
	pickPeers(context: Context, count: number, excluded?: ReadonlySet<InstanceId>): Instance[] {
		if (this._stale) {
			this._reachable = [...this.members.values()]
				.filter(({instance}) => instance.state !== 'gone')
				.map(({instance}) => instance.id)
				.toSorted((a, b) => a.localeCompare(b));
			this._stale = false;
		}

		const ids = this._reachable;
		const picked: Instance[] = [];
		const maxDraws = Math.min(count + (excluded?.size ?? 0), ids.length);
		// Partial Fisher-Yates shuffle: the ids drawn are swapped to the front of the array.
		for (let index = 0; index < maxDraws && picked.length < count; index++) {
			const drawnIndex = index + randomBelow(context, ids.length - index);
			const id = ids[drawnIndex]!;
			ids[drawnIndex] = ids[index]!;
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
