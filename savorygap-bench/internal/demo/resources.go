// Package demo runs the Board's sample fleet end to end and prints the outcomes of
// its requests.
package demo

import (
	"savorygap.example/lib/document"
	"savorygap.example/lib/wire"
)

// boardConfiguration is the sample configuration of the Board's branch.
const boardConfiguration = `kind: rulebook
name: shared
rules:
  - {name: reads, methods: GET, class: interactive, timeout: 3s, hedge: true}
  - {name: writes, methods: "POST,PUT", class: interactive, timeout: 5s}
---
kind: branch
name: board
hosts: [board.example]
rules:
  - {name: spoilage, priority: 10, service: sensorhub, path: /sensorhub/spoilage, class: urgent, timeout: 2s, short: true}
  - {name: archive, priority: 10, service: sensorhub, methods: "POST,PUT", class: upload, timeout: 30s}
  - {name: findings, priority: 10, service: findings, methods: POST, class: interactive, timeout: 5s, keyRequired: true}
  - {name: lookups, priority: 20, path: /logview/background, class: background, timeout: 10s}
---
{kind: datacentre, name: pamplemousses, region: mu-north}
---
{kind: datacentre, name: riviere-du-rempart, region: mu-north}
---
{kind: datacentre, name: port-louis, region: mu-north}
---
{kind: service, name: logview, branch: board, prefix: /logview/}
---
{kind: service, name: findings, branch: board, prefix: /findings/}
---
{kind: service, name: sensorhub, branch: board, prefix: /sensorhub/}
`

// SampleResources returns the sample configuration.
func SampleResources() ([]document.Resource, error) {
	return wire.DecodeYAML([]byte(boardConfiguration))
}
