/**
Writes the results of experiments as one HTML page with plots that needs no network:
the plotting library is part of the page.
*/
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import {type FleetSample} from './fleet.js';
import {meanWithInterval, pairedDifference} from './statistics.js';
import {figures, type Variant} from './variant.js';

export type ReportedPattern = {
	readonly name: string;
	readonly variants: readonly Variant[];
};

type Plot = {
	readonly title: string;
	readonly x: readonly number[];
	readonly series: ReadonlyArray<{readonly label: string; readonly values: readonly number[]}>;
};

/** Models with the most copies that one plot shows. */
const MODELS_PLOTTED = 8;
const WORTH = figures.find(({name}) => name === 'worth')!;

/** Returns the path of the page. */
export function writeReport(directory: string, patterns: readonly ReportedPattern[]): string {
	mkdirSync(directory, {recursive: true});
	const file = path.join(directory, 'index.html');
	writeFileSync(file, renderPage(patterns));
	return file;
}

function renderPage(patterns: readonly ReportedPattern[]): string {
	const library = path.dirname(createRequire(import.meta.url).resolve('uplot/package.json'));
	const plots = patterns.flatMap(pattern => plotsOf(pattern));
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>pollenarch experiments</title>
<style>
${readFileSync(path.join(library, 'dist/uPlot.min.css'), 'utf8')}
body {font: 14px/1.5 sans-serif; margin: 2em; max-width: 70em}
table {border-collapse: collapse; margin-bottom: 1em}
td, th {padding: 0.2em 0.7em; text-align: right; border-bottom: 1px solid #ddd}
td:first-child, th:first-child {text-align: left}
.bar {background: #2a6fb0; height: 0.8em; display: inline-block}
.bar.negative {background: #b0452a}
</style>
<h1>pollenarch experiments</h1>
${patterns.map(pattern => renderTables(pattern)).join('\n')}
<div id="plots"></div>
<script>${readFileSync(path.join(library, 'dist/uPlot.iife.min.js'), 'utf8')}</script>
<script>
const colors = ['#2a6fb0', '#b0452a', '#3c8c4a', '#8a5fb0', '#b08a2a', '#2aa6a6', '#b02a7c', '#666'];
for (const {title, x, series} of ${JSON.stringify(plots).replaceAll('<', String.raw`\u003C`)}) {
	new uPlot({
		title, width: 960, height: 260, scales: {x: {time: false}}, axes: [{label: 'seconds'}, {}],
		series: [{label: 's'}, ...series.map(({label}, index) => ({label, stroke: colors[index % colors.length], width: 1.5}))],
	}, [x, ...series.map(({values}) => values)], document.querySelector('#plots'));
}
</script>
</html>
`;
}

function renderTables({name, variants}: ReportedPattern): string {
	const rows = variants.map(variant => `<tr><td>${escape(variant.name)}</td>${figures.map(figure => {
		const {mean, halfWidth} = meanWithInterval(variant.runs.map(run => figure.of(run)));
		return `<td>${format(mean)} ± ${format(halfWidth)}</td>`;
	}).join('')}</tr>`);
	const differences = variants.slice(1).map(variant => {
		const {mean, halfWidth} = pairedDifference(variant.runs.map(run => WORTH.of(run)), variants[0]!.runs.map(run => WORTH.of(run)));
		const width = Math.min(30, Math.abs(mean) * 100);
		const bar = `<span class="bar${mean < 0 ? ' negative' : ''}" style="width: ${width}em"></span>`;
		return `<tr><td>${escape(variant.name)}</td><td>${format(mean)} ± ${format(halfWidth)}</td><td style="text-align: left">${bar}</td></tr>`;
	});
	return `<h2>${escape(name)}</h2>
<p>${variants[0]!.runs.length} seeds; mean and half width of the 95 % interval.</p>
<table><tr><th>variant</th>${figures.map(figure => `<th>${escape(figure.name)}</th>`).join('')}</tr>${rows.join('')}</table>
${differences.length > 0 ? `<h3>Ablation: change of worth, paired by seed</h3><table>${differences.join('')}</table>` : ''}`;
}

function plotsOf({name, variants}: ReportedPattern): Plot[] {
	const seconds = variants[0]!.runs[0]!.inTimeBySecond.map((_, second) => second);
	return [
		{
			title: `${name}: share in time by second of arrival`,
			x: seconds,
			series: variants.map(variant => ({label: variant.name, values: seconds.map(second => meanWithInterval(variant.runs.map(run => run.inTimeBySecond[second] ?? 1)).mean)})),
		},
		...variants.flatMap(variant => samplePlots(`${name}, ${variant.name}`, variant.runs[0]!.samples)),
	];
}

/** Copies of models and the load of engines over time, in the run of the first seed. */
function samplePlots(title: string, samples: readonly FleetSample[]): Plot[] {
	const x = samples.map(({atMs}) => atMs / 1000);
	const most = new Map<string, number>();
	for (const {copies} of samples) {
		for (const [model, number] of Object.entries(copies)) {
			most.set(model, Math.max(most.get(model) ?? 0, number));
		}
	}

	const models = [...most].sort((a, b) => b[1] - a[1]).slice(0, MODELS_PLOTTED).map(([model]) => model);
	const engines = samples[0]?.loads.map((_, engine) => engine) ?? [];
	return [
		{title: `${title}: copies of the models with most`, x, series: models.map(model => ({label: model, values: samples.map(({copies}) => copies[model] ?? 0)}))},
		{title: `${title}: requests at each engine`, x, series: engines.map(engine => ({label: `engine ${engine}`, values: samples.map(({loads}) => loads[engine] ?? 0)}))},
	];
}

function escape(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function format(value: number): string {
	return Math.abs(value) >= 100 ? String(Math.round(value)) : value.toFixed(3);
}
