/**
Gateways of all configured targets, and the polling of their reports.
*/
import {type Configuration} from '../core/configuration/types.js';
import {type Order} from '../core/placement/types.js';
import {type TargetId} from '../core/types.js';
import {type Daemon} from './daemon.js';
import {gatewayFactories} from './gateways/index.js';
import {type Gateway} from './gateways/types.js';

/** Lower limit of the interval at which the reports of one target are read. */
const MIN_REPORT_INTERVAL_MS = 500;

/** Reports that this instance reads per second, from its own zone and from the other zones together. They bound the load of polling regardless of the number of targets. */
const OWN_ZONE_REPORTS_PER_SECOND = 8;
const OTHER_ZONE_REPORTS_PER_SECOND = 4;
const MS_PER_SECOND = 1000;

type TargetClient = {
	readonly address: string;
	readonly kind: string;
	readonly gateway: Gateway;
	timer: NodeJS.Timeout | undefined;
};

export class TargetClients {
	private readonly _clients = new Map<TargetId, TargetClient>();

	constructor(private readonly _daemon: Daemon) {}

	gateway(targetId: TargetId): Gateway | undefined {
		return this._clients.get(targetId)?.gateway;
	}

	/** Opens, replaces and closes gateways so that they match the configuration. */
	configure({targets}: Configuration): void {
		for (const [id, client] of this._clients) {
			const configured = targets[id];
			if (configured?.address !== client.address || configured.gateway !== client.kind) {
				this._remove(id, client);
			}
		}

		for (const [id, {address, gateway: kind}] of Object.entries(targets)) {
			if (!this._clients.has(id)) {
				const client: TargetClient = {
					address,
					kind,
					gateway: gatewayFactories[kind]({address}),
					timer: undefined,
				};
				this._clients.set(id, client);
				void this._pollReport(id, client);
			}
		}
	}

	async probe(targetId: TargetId): Promise<void> {
		const probe = await this.gateway(targetId)?.probe();
		this._daemon.dispatch({
			kind: 'probe-answered', targetId, result: probe?.result ?? 'silent', boot: probe?.boot,
		});
	}

	/** Sends an order unless the lease has expired, measured by the monotonic clock of this process. */
	async sendOrder(targetId: TargetId, order: Order, validUntilMs: number): Promise<void> {
		const gateway = this.gateway(targetId);
		const isValid = this._daemon.clock.monotonicMs() < validUntilMs;
		const outcome = gateway && isValid ? await gateway.order(order) : 'not-sent';
		queueMicrotask(() => {
			this._daemon.dispatch({
				kind: 'order-answered', orderId: order.id, targetId, outcome,
			});
		});
	}

	async close(): Promise<void> {
		const clients = [...this._clients.values()];
		this._clients.clear();
		for (const client of clients) {
			clearTimeout(client.timer);
		}

		await Promise.all(clients.map(async ({gateway}) => gateway.close()));
	}

	private _remove(id: TargetId, client: TargetClient): void {
		this._clients.delete(id);
		clearTimeout(client.timer);
		// Requests in flight at a target that is no longer configured are completed first.
		const closeWhenIdle = () => {
			const target = this._daemon.state.targets.get(id);
			if (target && target.inFlight.size > 0) {
				setTimeout(closeWhenIdle, MIN_REPORT_INTERVAL_MS).unref();
			} else {
				void client.gateway.close();
			}
		};

		closeWhenIdle();
	}

	private async _pollReport(id: TargetId, client: TargetClient): Promise<void> {
		const report = await client.gateway.report();
		if (this._clients.get(id) !== client) {
			return;
		}

		this._daemon.dispatch(report ? {kind: 'target-reported', targetId: id, report} : {kind: 'target-silent', targetId: id});
		client.timer = setTimeout(() => {
			void this._pollReport(id, client);
		}, this._reportIntervalMs(id));
	}

	/** Spreads the allowed rate over the targets. The load estimate counts requests in flight, which makes up for less frequent reports. */
	private _reportIntervalMs(id: TargetId): number {
		const {state} = this._daemon;
		const isInOwnZone = (targetId: TargetId) => state.targets.get(targetId)?.zone === state.self.zone;
		const isOwnZone = isInOwnZone(id);
		const targetCount = [...this._clients.keys()].filter(other => isInOwnZone(other) === isOwnZone).length;
		const perSecond = isOwnZone ? OWN_ZONE_REPORTS_PER_SECOND : OTHER_ZONE_REPORTS_PER_SECOND;
		return Math.max(MIN_REPORT_INTERVAL_MS, (targetCount / perSecond) * MS_PER_SECOND);
	}
}
