/**
Capabilities of each kind of gateway. The gateways themselves are in the daemon; the
core decides by these flags alone.
*/
import {type GatewayKind} from '../configuration/types.js';

export type GatewayCapabilities = {
	/** Whether the target rejects an order whose fencing token is below the highest it has seen. */
	readonly checksFencing: boolean;
	/** Whether a stream can be resumed on the same target from an offset. */
	readonly resumesStreams: boolean;
	/** Whether a target can continue a text that another target began. */
	readonly continuesText: boolean;
	readonly reportsLoad: boolean;
	readonly loadsModels: boolean;
};

export const gatewayCapabilities: Readonly<Record<GatewayKind, GatewayCapabilities>> = {
	'engine-fenced': {
		checksFencing: true,
		resumesStreams: true,
		continuesText: true,
		reportsLoad: true,
		loadsModels: true,
	},
	'engine-unfenced': {
		checksFencing: false,
		resumesStreams: true,
		continuesText: true,
		reportsLoad: true,
		loadsModels: true,
	},
	plain: {
		checksFencing: false,
		resumesStreams: false,
		continuesText: false,
		reportsLoad: true,
		loadsModels: false,
	},
};
