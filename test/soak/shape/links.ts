/**
Links between callers and instances, as a program of their own. Some lose what they hold
when the process of their instance is gone, as with a host that goes with its process.
*/
import process from 'node:process';
import {Link} from '../../standins/link.js';
import {type Lateness, watchLateness} from '../lateness.js';
import {createRandom} from '../seeded-random.js';
import {FIRST_LINK_PORT, linkKinds} from './data.js';

const TELL_MS = 500;

type Start = {readonly seed: number; readonly epochMs: number; readonly instances: ReadonlyArray<{readonly host: string; readonly port: number}>};
/** `gone`: the host of an instance whose process has ended. */
export type LinksMessage = Start | {readonly gone: string};
/** The first says that the links listen. */
export type LinksResult = {readonly lateness: readonly Lateness[]};

/** By the host of their instance. */
const lossy = new Map<string, Link[]>();

async function run({seed, epochMs, instances}: Start): Promise<void> {
	const random = createRandom(seed);
	const lateness: Lateness[] = [];
	watchLateness(() => performance.timeOrigin + performance.now() - epochMs, lateness);
	for (const to of instances) {
		const links = await Promise.all(linkKinds.map(async ({delayMs: [min, max]}, index) => Link.start({from: {host: to.host, port: FIRST_LINK_PORT + index}, to, delayMs: () => min + (random.uniform() * (max - min))})));
		lossy.set(to.host, links.filter((_, index) => linkKinds[index]!.isLossy));
	}

	setInterval(() => {
		process.send?.({lateness: lateness.splice(0)} satisfies LinksResult);
	}, TELL_MS);
}

process.on('message', (message: LinksMessage) => {
	if ('gone' in message) {
		for (const link of lossy.get(message.gone) ?? []) {
			link.lose();
		}
	} else {
		void run(message);
	}
});
process.on('disconnect', () => {
	process.exit(0);
});
