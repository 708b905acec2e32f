#!/usr/bin/env node
/**
`pollenarchd --settings FILE`: one entry instance. SIGTERM and SIGINT drain it.
*/
import process from 'node:process';
import {Command} from 'commander';
import {formatResultCode} from './problem.js';
import {Daemon} from './daemon.js';
import {PortInUseError} from './listeners/listener.js';
import {readSettings, type Settings} from './settings.js';

const EXIT_SETTINGS = 2;
const EXIT_PORT = 3;
const EXIT_OTHER = 1;

const program = new Command('pollenarchd')
	.description('One entry instance of pollenarch')
	.requiredOption('--settings <file>', 'YAML settings')
	.action(async ({settings: file}: {settings: string}) => {
		await readSettings(file).caseOf<Promise<void>>({
			async Left(mistakes) {
				for (const mistake of mistakes) {
					process.stderr.write(`${formatResultCode('settings-invalid')} ${mistake}\n`);
				}

				process.exitCode = EXIT_SETTINGS;
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
		const isPort = error instanceof PortInUseError;
		process.stderr.write(`${isPort ? `${formatResultCode('port-in-use')} ` : ''}${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = isPort ? EXIT_PORT : EXIT_OTHER;
	}
}

await program.parseAsync();
