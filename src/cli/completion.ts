/**
Generates a bash completion script for the command names and the global options.
*/
import {type Command} from 'commander';

export function completionScript(program: Command): string {
	const words = [
		...program.commands.map(command => command.name()),
		...program.options.map(option => option.long).filter(option => option !== undefined),
	].join(' ');
	return `_pollenarch() {
	COMPREPLY=($(compgen -W '${words}' -- "\${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _pollenarch pollenarch
`;
}
