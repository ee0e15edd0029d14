"""GraphQL over HTTP on the data path: what a request is, before anything of it is sent. Off unless switched on."""
