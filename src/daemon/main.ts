#!/usr/bin/env node
/**
Command line entry point of `pollenarchd --settings FILE`, which runs one entry instance.
SIGTERM and SIGINT start a drain.
*/
import process from 'node:process';
import {Command} from 'commander';
import {formatResultCode} from './problem.js';
import {Daemon} from './daemon.js';
import {PortInUseError} from './listeners/listener.js';
import {readSettings, type Settings} from './settings.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_PORT_IN_USE = 3;
const EXIT_FAILURE = 1;

const program = new Command('pollenarchd')
	.description('One entry instance of pollenarch')
	.requiredOption('--settings <file>', 'YAML settings')
	.action(async ({settings: file}: {settings: string}) => {
		await readSettings(file).caseOf<Promise<void>>({
			async Left(errors) {
				for (const error of errors) {
					process.stderr.write(`${formatResultCode('settings-invalid')} ${error}\n`);
				}

				process.exitCode = EXIT_INVALID_SETTINGS;
			},
			Right: run,
		});
	});

async function run(settings: Settings): Promise<void> {
	try {
		const daemon = await Daemon.start({settings});
		const drain = () => {
			daemon.drain('signal');
		};

		process.on('SIGTERM', drain);
		process.on('SIGINT', drain);
		await daemon.stopped;
		process.off('SIGTERM', drain);
		process.off('SIGINT', drain);
	} catch (error) {
		const isPortInUse = error instanceof PortInUseError;
		process.stderr.write(`${isPortInUse ? `${formatResultCode('port-in-use')} ` : ''}${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = isPortInUse ? EXIT_PORT_IN_USE : EXIT_FAILURE;
	}
}

await program.parseAsync();
