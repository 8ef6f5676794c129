// Command stand2 plays one case of the review: node processes of the deploy file on loopback
// addresses, with the project's fake store, and servers and callers that follow the platform's
// pages. It writes what was sent, answered and run to a record file, and ends with status 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
//
// # Usage
//
//	stand2 -case quota -node target/savorygap-node -record review/6/record.txt
package main
