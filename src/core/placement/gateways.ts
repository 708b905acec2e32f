/**
What each kind of gateway can do. The gateways themselves are in the daemon; the
core decides by these flags alone.
*/
import {type GatewayKind} from '../configuration/types.js';

export type GatewayCapabilities = {
	/** Whether the target refuses an order whose fence is below the highest it has seen. */
	readonly checksFencing: boolean;
	/** Whether a stream can be taken up again on the same target from an offset. */
	readonly resumesStreams: boolean;
	/** Whether a target can carry on a text that another one began. */
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
