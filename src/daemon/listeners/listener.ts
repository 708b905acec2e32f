/**
Opening and closing of listeners.
*/
import {type FastifyInstance} from 'fastify';

export type Listener = {
	readonly address: string;
	close(): Promise<void>;
};

/** An address of the settings that another process listens on. */
export class PortInUseError extends Error {
	constructor(readonly path: string, readonly address: string) {
		super(`${path}: ${address} is in use`);
	}
}

export async function listen(server: FastifyInstance, {host, port}: {host: string; port: number}, path: string): Promise<Listener> {
	try {
		const address = await server.listen({host, port});
		return {
			address,
			async close() {
				server.server.closeAllConnections();
				await server.close();
			},
		};
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'EADDRINUSE') {
			throw new PortInUseError(path, `${host}:${port}`);
		}

		throw error;
	}
}

export async function closeAll(listeners: readonly Listener[]): Promise<void> {
	await Promise.all(listeners.map(async listener => listener.close()));
}
