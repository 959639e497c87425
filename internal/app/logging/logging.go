// Package logging sets up a program's logger.
package logging

import (
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
)

// New returns the program's logger. It fails if the level of the options is not
// known.
func New(program string, options settings.Logging) (*logrus.Entry, error) {
	logger := logrus.New()
	level, err := logrus.ParseLevel(options.Level)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	logger.SetLevel(level)
	if options.Format == settings.FormatJSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return logger.WithField("program", program), nil
}
