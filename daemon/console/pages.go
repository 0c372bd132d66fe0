package console

// pages holds the templates. html/template escapes all values by their place.
const pages = `
{{define "head"}}<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>{{.Title}} - magnoliastand</title>
<style>body{font-family:sans-serif;margin:1.5em;max-width:75em}table{border-collapse:collapse;margin:.5em 0 1.5em}
td,th{padding:.2em .5em;text-align:left;vertical-align:top}input{padding:.2em}.fault{color:#b00020;font-size:.85em;display:block}
.notice{padding:.6em;background:#e8f0e8}.bad{background:#fbe3e4}nav a{margin-right:1em}pre{background:#f4f4f4;padding:.6em}
.add{color:#05631f}.del{color:#b00020}</style></head><body>
{{if .Operator}}<nav><a href="/console">Fleet</a><a href="/console/keys">Keys</a><a href="/console/waves">Waves</a>
<form method="post" action="/console/logout" style="display:inline"><input type="hidden" name="csrf" value="{{.CSRF}}"><button>Log out {{.Operator}}</button></form></nav>{{end}}
<h1>{{.Title}}</h1>{{if .Notice}}<p class="notice{{if .Fault}} bad{{end}}" role="status">{{.Notice}}</p>{{end}}{{end}}
{{define "foot"}}</body></html>{{end}}

{{define "message"}}{{template "head" .}}<p><a href="/console">Back to the forms</a></p>{{template "foot" .}}{{end}}

{{define "login"}}{{template "head" .}}<form method="post" action="/console/login">
<label>Operator key <input type="password" name="key" autocomplete="off" required></label> <button>Log in</button></form>{{template "foot" .}}{{end}}

{{define "edit"}}{{template "head" .}}{{$csrf := .CSRF}}{{with .Data}}
<p>Document version {{.Base}}. Clear a name to remove a row. Nothing changes before you have seen the difference.</p>
{{range .Other}}<p class="fault">{{.Path}}: {{.Message}}</p>{{end}}
<form method="post" action="/console/review"><input type="hidden" name="csrf" value="{{$csrf}}"><input type="hidden" name="base" value="{{.Base}}">
{{range .Tables}}<h2>{{.Title}}</h2><table><tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .Cells}}<td><input name="{{.Path}}" aria-label="{{.Path}}" {{if .Check}}type="checkbox"{{if .Value}} checked{{end}}{{else}}value="{{.Value}}" size="14"{{end}}>{{if .Fault}}<span class="fault">{{.Fault}}</span>{{end}}</td>{{end}}{{if .Fault}}<td class="fault">{{.Fault}}</td>{{end}}</tr>
{{end}}</table>{{end}}<button>Review the difference</button></form>{{end}}{{template "foot" .}}{{end}}

{{define "review"}}{{template "head" .}}{{$csrf := .CSRF}}{{with .Data}}
<p>On version {{.Base}}:</p><pre>{{range .Lines}}<span class="{{if eq .Mark "+"}}add{{else if eq .Mark "-"}}del{{end}}">{{.Mark}} {{.Text}}</span>
{{end}}</pre>
<form method="post" action="/console/apply"><input type="hidden" name="csrf" value="{{$csrf}}"><input type="hidden" name="base" value="{{.Base}}">
<input type="hidden" name="operation" value="{{.Operation}}"><input type="hidden" name="document" value="{{.Document}}">
<button>Apply</button> <a href="/console">Discard</a></form>{{end}}{{template "foot" .}}{{end}}

{{define "keys"}}{{template "head" .}}{{$csrf := .CSRF}}{{with .Data}}
{{if .Text}}<p>The new key, shown only now:</p><pre>{{.Text}}</pre>{{end}}
<table><tr><th>Key</th><th>Team</th><th>Label</th><th></th></tr>
{{range .Keys}}<tr><td>{{.ID}}</td><td>{{.Team}}</td><td>{{.Label}}</td><td><form method="post" action="/console/keys/withdraw"><input type="hidden" name="csrf" value="{{$csrf}}"><input type="hidden" name="key_id" value="{{.ID}}"><button>Withdraw</button></form></td></tr>
{{end}}</table>
<h2>Grant a key</h2><form method="post" action="/console/keys/grant"><input type="hidden" name="csrf" value="{{$csrf}}">
<label>Team <input name="team" required></label> <label>Label <input name="label"></label> <button>Grant</button></form>{{end}}{{template "foot" .}}{{end}}

{{define "waves"}}{{template "head" .}}{{$csrf := .CSRF}}<table><tr><th>Wave</th><th>State</th><th>Done</th><th>Reason</th><th></th></tr>
{{range .Data}}<tr><td>{{.Name}}</td><td>{{.State}}</td><td>{{.Done}}</td><td>{{.Reason}}</td><td><form method="post" action="/console/waves"><input type="hidden" name="csrf" value="{{$csrf}}"><input type="hidden" name="wave" value="{{.Name}}">
<button name="action" value="start">Start</button><button name="action" value="pause">Pause</button><button name="action" value="resume">Resume</button><button name="action" value="abort">Abort</button></form></td></tr>
{{end}}</table>{{template "foot" .}}{{end}}
`
